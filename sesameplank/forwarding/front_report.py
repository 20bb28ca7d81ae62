"""What a forwarding process tells of itself: gauges and the state dump."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.published.versions import OfferResult
from ..core.quarantine.request_quarantine import Standing

if TYPE_CHECKING:
    from .front import Front


def make_gauges(front: Front) -> dict[str, float]:
    """Return the current values of the gauges, for logs and metrics."""
    now = front.clock.now()
    age_s = front.store.age_s
    return {
        "fleet_size": front.connection_shares.fleet_size,
        "config_version": front.store.version,
        "config_age_s": -1.0 if age_s is None else age_s,
        "config_conflicts": front.store.ignored.get(OfferResult.CONFLICT, 0),
        "view_is_stale": int(front.view_check.is_stale),
        "targets_era": front.table.era,
        "targets_revision": front.table.revision,
        "targets": len(front.table.records),
        "store_calls_failed": front.follower.counts.calls_failed,
        "store_answers_refused": front.follower.counts.answers_refused,
        "store_items_refused": front.follower.counts.items_refused,
        "store_configurations_refused": front.follower.counts.configurations_refused,
        "targets_limited": len(front.limits.limits),
        "targets_lost": int(front.reach.is_lost),
        "requests_in_quarantine": front.quarantine.count(Standing.QUARANTINED, now),
        "requests_suspect": front.quarantine.count(Standing.SUSPECT, now),
        "targets_heard_age_s": round(now - front.reach.heard_at, 3),
        "in_flight": front.caller_server.in_flight,
        "requests_pending": front.caller_server.pending,
        "caller_connections": len(front.caller_server.connections),
        "loop_delay_s": front.loop_delay.get_delay_s(now),
        "task_failures": front.loops.failures,
        "task_max_age_s": round(front.loops.max_age_s, 3),
        "connections_opened": front.pools.opened,
        "copies_refused": front.budget.refused,
        "copies_taken": front.budget.taken,
        "limit_share": round(front.limit_parts.fleet.share, 4),
        "slack_share": round(front.budget.slack_share, 4),
        "peer_bytes_sent": front.links.counters.bytes_sent,
        "caller_bytes_read": front.caller_server.accounts.bytes_read,
        "caller_bytes_written": front.caller_server.accounts.bytes_written,
    }


def make_state(front: Front) -> dict:
    """Return the state of this process for a dump, as JSON-compatible values."""
    now = front.clock.now()
    return {
        "vm": front.settings.vm,
        "is_ready": front.is_ready,
        "is_stopping": front.shutdown.is_requested,
        "gauges": make_gauges(front),
        "tasks": front.loops.describe(),
        "quarantine": {
            fingerprint: front.quarantine.describe(fingerprint, now)
            for fingerprint in front.quarantine.records
        },
        "members": {
            member.id: {
                "address": member.address,
                "data_centre": member.data_centre,
                "phase": member.phase.name.lower(),
                "health": member.health.name.lower(),
                "reaches_targets": member.reaches_targets,
                "is_view_stale": member.is_view_stale,
            }
            for member in front.membership.members.values()
        },
        "targets": {
            record.id: {
                "service": record.service,
                "address": record.address,
                "phase": record.phase.value,
                "in_flight": len(front.placement.get(record.id).in_flight),
                "slowness": front.placement.get(record.id).slowness.get(now),
                "is_avoided": front.placement.is_avoided(record.id, now),
                "is_held": record.id in front.table.held_until,
                "limit": front.limits.describe(record.id, now),
            }
            for record in front.table.records.values()
        },
    }
