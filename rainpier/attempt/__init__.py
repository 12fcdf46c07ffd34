"""The life of an attempt and of a message as tables, and an explorer of them. No input or output."""
