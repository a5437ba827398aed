"""Naive forms of each mechanism, to show which proofs depend on it."""

from buckthornstile.base import NO_OFFSET
from buckthornstile.lease import LeaseFold, LeaseKeeper
from buckthornstile.orders import (
    OrderAnswer,
    OrderPlanner,
    SendUpstreamOrder,
)
from buckthornstile.ports import UpstreamOrder
from buckthornstile.records import LeaseClaim
from buckthornstile.usage import RangeSet, UsageFold, UsageTotals


class ReadBackKeeper(LeaseKeeper):
    """Counts from when it read its renewal instead of before it sent it."""

    last_read_at = 0.0

    def on_applied(self, offset, record, accepted):
        super().on_applied(offset, record, accepted)
        if accepted and record.incarnation == self.incarnation:
            self._granted_from = self.last_read_at


class UnreadKeeper(LeaseKeeper):
    """Counts a renewal as soon as it is sent, without reading it back."""

    def decide(self, now, *, candidate=True):
        action = super().decide(now, candidate=candidate)
        if action and not isinstance(action.record, LeaseClaim):
            self._granted_from = now
        return action


class MarginlessFold(LeaseFold):
    """Waits for the duration alone, as if all clocks ran alike."""

    def get_wait(self, duration):
        return duration


class TermOnlyFold(LeaseFold):
    """Accepts a claim whose claimer had not seen the last renewal."""

    def _apply_claim(self, offset, claim, read_at):
        update = {"follows_sequence": self.state.sequence}
        return super()._apply_claim(offset, claim.model_copy(update=update), read_at)


class LastClaimFold(LeaseFold):
    """Accepts every claim, whatever it follows."""

    def _apply_claim(self, offset, claim, read_at):
        update = {
            "follows": self.state.term,
            "follows_sequence": self.state.sequence,
        }
        return super()._apply_claim(offset, claim.model_copy(update=update), read_at)


class AnySealFold(UsageFold):
    """Accepts seals of any term, for any window, with any figures."""

    def _is_valid(self, offset, seal, term):
        return True


class UnreadPlanner(OrderPlanner):
    """Sends at once, without an intent in the log."""

    def _append_intents(self, now, term, wall_now):
        actions = []
        for scope, wish in list(self._wishes.items()):
            del self._wishes[scope]
            if scope in self._pending:
                continue
            order = UpstreamOrder(
                order_id=f"{scope}/{NO_OFFSET + 1}",
                term=term,
                action=wish.action,
                failure_domain=wish.failure_domain,
                service=wish.service,
            )
            self._pending[scope] = None
            actions.append(SendUpstreamOrder(order, self.timeout))
        return actions

    def _forget_closed(self):
        pass


class ResendingPlanner(OrderPlanner):
    """Sends an order again when its answer was lost, and trusts the platform."""

    def on_answer(self, order_id, answer, now):
        if answer is OrderAnswer.UNKNOWN:
            answer = OrderAnswer.NOT_SENT
        super().on_answer(order_id, answer, now)

    def _decide_open(self, order, now, term, term_since):
        update = {"term": term}
        intent = order.intent.model_copy(update=update)
        order = order.model_copy(update={"intent": intent})
        self._made_at.setdefault(intent.order_id, now)
        return super()._decide_open(order, now, term, term_since)


class UnsettledPlanner(OrderPlanner):
    """Believes the platform's list while the order may still be in flight."""

    def on_answer(self, order_id, answer, now):
        super().on_answer(order_id, answer, now)
        if order_id in self._unknown_until:
            self._unknown_until[order_id] = now


class RangelessFold(UsageFold):
    """Adds every batch and recovery, whatever was counted before."""

    def _apply_batch(self, offset, batch):
        self._add_unsealed(offset, UsageTotals(batch.lines))
        return True

    def _apply_recovery(self, offset, recovery):
        lines = [request.line for request in recovery.requests]
        self._add_unsealed(offset, UsageTotals(lines))
        return True


class UnsubtractedFold(UsageFold):
    """Drops duplicates but does not subtract recovered usage from a batch."""

    def _apply_batch(self, offset, batch):
        entry = self._get_entry(batch.entry)
        entry.recovered = {}
        entry.merged = RangeSet()
        entry.merged_totals = UsageTotals()
        return super()._apply_batch(offset, batch)


class ForgetfulFold(UsageFold):
    """Forgets what was covered at each seal."""

    def _retire_entries(self):
        for entry in self._entries.values():
            entry.covered = RangeSet()
