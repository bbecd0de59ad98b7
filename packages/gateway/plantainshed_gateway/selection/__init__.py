"""Decisions about which target gets a request.

The modules know nothing of sockets, tasks or message formats. What a VM knows of a
target is kept in one place, `registry.TargetState`: answers and other VMs update it,
and every decision reads it.
"""
