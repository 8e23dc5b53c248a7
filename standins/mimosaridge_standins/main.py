"""Command that runs a stand-in: store, workers or hostlist."""

from gevent import monkey

monkey.patch_all()

import fire  # noqa: E402

from mimosaridge_standins import hostlist  # noqa: E402
from mimosaridge_standins import store  # noqa: E402
from mimosaridge_standins import workers  # noqa: E402

if __name__ == "__main__":
    fire.Fire(
        {
            "store": store.run,
            "workers": workers.run,
            "hostlist": hostlist.run,
        }
    )
