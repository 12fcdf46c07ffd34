"""The configuration model, and the modules that read, check, write and reload it."""
