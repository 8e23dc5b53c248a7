"""In-memory fakes at the reducer's interfaces, under a clock of the test's."""
