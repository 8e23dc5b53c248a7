"""Command-line interface for callers, operators and analysts."""
