"""The binaries, one module each; importing any makes the standard library cooperative.

The patch must come before any module that opens a socket is imported.
"""

from gevent import monkey

monkey.patch_all()
