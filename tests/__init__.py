"""Tests, laid out like the package. Importing them applies gevent's monkey patches."""

from gevent import monkey

monkey.patch_all()

from hypothesis import settings  # noqa: E402

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")
