"""The adapter to the users' platform.

It translates names, formats and calls; routing decisions are made elsewhere.
"""
