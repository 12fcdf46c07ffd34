"""Overload control: how clients share the memory and the event loop of the process. No I/O."""
