"""Daemon of the job scheduler on the users' platform."""
