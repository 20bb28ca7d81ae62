"""The binaries, one module each.

Importing this package applies gevent's monkey patches to the standard library.
They must be in place before any module that opens a socket is imported.
"""

from gevent import monkey

monkey.patch_all()
