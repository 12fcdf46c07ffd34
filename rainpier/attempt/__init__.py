"""State tables for the life of an attempt and of a message, and a model checker for them. No I/O."""
