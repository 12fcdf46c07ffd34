"""The only host that a case listens on or calls."""

import ipaddress
import socket

LOOPBACK = str(ipaddress.IPv4Address(socket.INADDR_LOOPBACK))
