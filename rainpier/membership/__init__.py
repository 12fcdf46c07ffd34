"""Endpoint discovery: sources of endpoints."""
