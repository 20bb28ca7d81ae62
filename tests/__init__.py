"""Tests, arranged as the package is; the standard library is made cooperative."""

from gevent import monkey

monkey.patch_all()

from hypothesis import settings  # noqa: E402

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")
