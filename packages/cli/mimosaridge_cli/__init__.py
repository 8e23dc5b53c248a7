"""Command line of operators, analysts and callers."""
