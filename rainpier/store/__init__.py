"""The durable store of accepted messages: a log of segments, its recovery and its group commit."""
