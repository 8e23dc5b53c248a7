"""Stand-ins of platform services for tests, benchmarks and the demo."""
