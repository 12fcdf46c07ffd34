"""RESP listener: clients submit messages and learn whether they were accepted."""
