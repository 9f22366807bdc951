"""Access to the operating system: the scheduler, the clock, sockets, files and threads."""
