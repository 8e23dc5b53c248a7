"""Daemon of an entry host: executes the effects that the core returns."""
