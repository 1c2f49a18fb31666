"""Asks another engine for a stream while the present one is silent."""

import asyncio
import functools

from .engine_sends import EngineSends
from .errors import RefusalError, RunStatus
from .inbound import SendError, SendFailure
from .send_trace import SendTrace, log_failed_send
from .silence import ask_after_ms, unlisted_after_ms
from .stream_state import Standby, StreamState

# Interval of the checks of an engine that is silent.
CHECK_INTERVAL_MS = 200
# Pause after no other engine could take a stream.
ASK_AGAIN_MS = 1500


class StandbyEngines:
    """Keeps a silent engine, and asks another one for the same events.

    A sound engine may be silent for a while, so the present one is given up
    only when another one has begun its run, which the head of its answer
    shows. Two engines must not run the same request for long.
    """

    def __init__(self, sends: EngineSends) -> None:
        """Stores the dependency.

        Args:
            sends: Sends requests to engines.
        """
        self._sends = sends

    def ask_if_due(self, stream: StreamState) -> float:
        """Asks another engine if the present one has been silent for long.

        Args:
            stream: A stream without an event to relay.

        Returns:
            Time until the next check, in ms.
        """
        left_ms = self._sends.left_ms(stream)
        route = stream.context.route
        if stream.standby is not None or not route.resumable:
            return left_ms
        due_ms = ask_after_ms(
            route,
            left_ms + stream.silent_ms,
            begun=bool(stream.framer.event_count),
            listed=self._sends.is_listed(stream.present.engine),
        )
        wait_ms = max(due_ms, stream.ask_again_after_ms) - stream.silent_ms
        # The engine may leave the roster meanwhile.
        check_ms = self._until_check_ms(stream)
        if wait_ms > 0:
            return min(wait_ms, check_ms)
        if self._sends.holds_inputs(stream):
            return check_ms
        stream.ask_again_after_ms = stream.silent_ms + ASK_AGAIN_MS
        if self._may_ask(stream):
            standby = Standby()
            stream.standby = standby
            standby.task = asyncio.ensure_future(self._ask(stream, standby))
            standby.task.add_done_callback(
                functools.partial(_report, stream.progress)
            )
        return CHECK_INTERVAL_MS

    async def take_over(self, stream: StreamState) -> bool:
        """Goes on with a standby that has begun its run.

        If the present engine has failed, the standby is the one to wait for
        as soon as its request is sent.

        Args:
            stream: A stream whose present engine has delivered nothing.

        Returns:
            Whether the standby is the present engine now, or has failed.
        """
        standby = stream.standby
        if standby is None or not standby.is_ready(
            present_failed=stream.present.failed
        ):
            return False
        if standby.find_error() or not stream.fits(standby.sent.engine):
            await self.release(stream)
            return True
        exchange = standby.sent
        stream.standby = None
        standby.stop_waiting()
        if not stream.present.failed:
            stream.resume_reason = f'no event for {round(stream.silent_ms)} ms'
        stream.broken_engine_ids.add(stream.present.engine.target_id)
        stream.framer.discard_partial()
        await stream.replace(exchange)
        return True

    async def release(self, stream: StreamState) -> None:
        """Cancels a standby that is not needed, or has failed.

        Args:
            stream: The stream.
        """
        standby = stream.standby
        if standby is None:
            return
        error = standby.find_error()
        await standby.close()
        stream.standby = None
        exchange = standby.exchange
        if exchange is not None and isinstance(error, SendError):
            self._sends.record_failure(stream, exchange, error)
            return
        if error is not None:
            _log_failure(stream, standby, error)
            stream.broken_engine_ids.update(standby.engine_ids)
        if stream.present.accepted:
            self._sends.release_inputs(stream)
        if exchange is not None:
            stream.note_run_ended(exchange, _failure_of(error))

    def _may_ask(self, stream: StreamState) -> bool:
        if not self._sends.has_other_engine(stream):
            return False
        stream.note_possible_run(stream.present)
        return self._sends.may_ask_again(stream)

    async def _ask(self, stream: StreamState, standby: Standby) -> None:
        """Sends to another engine and waits for the head of its answer.

        Raises:
            SendError: If the engine fails.
            RefusalError: If no other engine is granted, or no retry is left.
        """
        present = stream.present.engine
        grant = await self._sends.place(stream, besides=present)
        if grant.placement.engine.target_id == present.target_id:
            raise RefusalError(stream.history.build_refusal('no other engine'))
        if not self._sends.spend_retry(stream):
            raise RefusalError(stream.history.build_refusal('no retry left'))
        progress = asyncio.Event()
        exchange = self._sends.build(stream, grant, progress.set)
        standby.exchange = exchange
        exchange.start()
        stream.progress.set()
        while not exchange.has_head():
            progress.clear()
            await progress.wait()
        self._sends.check_head(stream, exchange, is_resume=True)

    def _until_check_ms(self, stream: StreamState) -> float:
        unlisted_ms = unlisted_after_ms(stream.context.route)
        return max(unlisted_ms - stream.silent_ms, CHECK_INTERVAL_MS)


def _failure_of(error: BaseException | None) -> SendFailure:
    """Returns whether a request that was sent may have run."""
    if isinstance(error, RefusalError):
        if error.refusal.ran is RunStatus.NOT_RUN:
            return SendFailure.NOT_SENT
    return SendFailure.UNKNOWN


def _log_failure(
    stream: StreamState, standby: Standby, error: BaseException
) -> None:
    exchange = standby.exchange
    log_failed_send(
        stream.request.request_id,
        ''.join(standby.engine_ids),
        _failure_of(error).value,
        f'no standby: {error!r}',
        SendTrace() if exchange is None else exchange.trace,
    )


def _report(progress: asyncio.Event, task: asyncio.Task[None]) -> None:
    progress.set()
