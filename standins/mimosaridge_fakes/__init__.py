"""In-memory fakes for reducer tests, driven by a simulated clock."""
