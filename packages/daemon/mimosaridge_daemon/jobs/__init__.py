"""The daemon that runs jobs on the users' platform."""
