"""One model of the configuration: read, check, write, reload."""
