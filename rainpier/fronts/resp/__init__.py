"""RESP: clients hand in messages and hear whether they were taken on."""
