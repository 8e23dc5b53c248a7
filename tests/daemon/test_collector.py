"""The garbage collector's configuration."""

import gc

import testtools

from mimosaridge_daemon import collector


class CollectorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.addCleanup(gc.enable)
        self.addCleanup(gc.set_threshold, *gc.get_threshold())
        self.addCleanup(gc.unfreeze)

    def test_collections_are_enabled_after_the_imports(self):
        gc.disable()
        collector.configure()
        self.assertTrue(gc.isenabled())
        self.assertEqual(
            collector.YOUNG_THRESHOLD_OBJECTS, gc.get_threshold()[0]
        )
