"""Conversion between requests and the messages of peers."""

from collections.abc import Iterable

from .chains import ChainSpec, ChainStage, HandoverResult
from .engine_placer import Prompt, PromptPart
from .generated.peer_chains import (
    ChainEventBody,
    ChainReplyBody,
    ChainRequestBody,
    ChainResultBody,
    ChainStageBody,
    PromptBody,
    PromptPartBody,
)
from .plans import ChainRefusal
from .target_speed.target_speeds import EngineStart


def encode_chain_spec(
    spec: ChainSpec,
    excluded: frozenset[str],
    now_ms: float,
) -> ChainRequestBody:
    """Returns the message that requests an engine from a scheduler.

    Args:
        spec: Stages, engine service and deadline of the request.
        excluded: Ids of the engines that failed the request.
        now_ms: Monotonic time of this entry.
    """
    return ChainRequestBody(
        chain_id=spec.chain_id,
        piece_key=spec.piece_key,
        stages=[
            ChainStageBody(
                service=stage.service,
                pieces=stage.pieces,
                after=list(stage.after),
                result_bytes=stage.result_bytes,
                work=stage.work_kind,
            )
            for stage in spec.stages
        ],
        engine_service=spec.engine_service,
        prompt=PromptBody(
            model=spec.prompt.model,
            parts=[
                PromptPartBody(id=part.part_id, tokens=part.tokens)
                for part in spec.prompt.parts
            ],
            prompt_tokens=spec.prompt.prompt_tokens,
            output_tokens=spec.prompt.output_tokens,
        ),
        priority=spec.priority,
        aim_left_ms=spec.soft_deadline_at_ms - now_ms,
        deadline_left_ms=spec.deadline_at_ms - now_ms,
        excluded=sorted(excluded),
        results=encode_results(spec.results, now_ms),
        software_version=spec.software_version,
        avoided=sorted(spec.avoided),
        organisation=spec.organisation,
    )


def decode_chain_spec(request: ChainRequestBody, now_ms: float) -> ChainSpec:
    """Returns the specification from a request of a peer.

    Args:
        request: Message of the peer.
        now_ms: Monotonic time of this entry.
    """
    prompt = request.prompt
    return ChainSpec(
        chain_id=request.chain_id,
        piece_key=request.piece_key,
        stages=tuple(
            ChainStage(
                stage.service,
                stage.pieces,
                tuple(stage.after),
                stage.result_bytes,
                stage.work,
            )
            for stage in request.stages
        ),
        engine_service=request.engine_service,
        prompt=Prompt(
            prompt.model,
            tuple(PromptPart(part.id, part.tokens) for part in prompt.parts),
            prompt.prompt_tokens,
            prompt.output_tokens,
        ),
        priority=request.priority,
        soft_deadline_at_ms=now_ms + request.aim_left_ms,
        deadline_at_ms=now_ms + request.deadline_left_ms,
        received_at_ms=now_ms,
        results=decode_results(request.results, now_ms),
        software_version=request.software_version,
        avoided=frozenset(request.avoided),
        organisation=request.organisation,
    )


def encode_event(
    event: str,
    chain_id: str,
    engine_id: str = '',
    start: EngineStart | None = None,
) -> ChainEventBody:
    """Returns the message that reports the progress of a request.

    Args:
        event: What happened.
        chain_id: Id of the request.
        engine_id: Engine that failed it.
        start: The first event of the answer.
    """
    fields: dict[str, object] = {'engine_id': engine_id}
    if start is not None:
        fields = {
            'engine_id': start.engine_id,
            'first_event_ms': start.after_ms,
            'slowdown_ratio': start.slowdown_ratio,
        }
    return ChainEventBody.model_validate(
        {'chain_id': chain_id, 'event': event, **fields}
    )


def decode_start(message: ChainEventBody) -> EngineStart | None:
    """Returns what an entry saw of the start of an answer.

    Args:
        message: Message of the entry; without an engine in earlier builds.
    """
    if not message.engine_id:
        return None
    return EngineStart(
        message.engine_id, message.first_event_ms, message.slowdown_ratio
    )


def encode_results(
    results: Iterable[HandoverResult],
    now_ms: float,
) -> list[ChainResultBody]:
    """Returns the messages that report results to a peer.

    Args:
        results: Locations of the results.
        now_ms: Monotonic time of this entry.
    """
    return [
        ChainResultBody(
            stage=result.stage,
            number=result.number,
            handle=result.handle,
            target_id=result.target_id,
            left_ms=result.expires_at_ms - now_ms,
        )
        for result in results
    ]


def decode_results(
    bodies: Iterable[ChainResultBody],
    now_ms: float,
) -> tuple[HandoverResult, ...]:
    """Returns the results that a peer reported.

    Args:
        bodies: Messages of the peer.
        now_ms: Monotonic time of this entry.
    """
    return tuple(
        HandoverResult(
            body.stage,
            body.number,
            body.handle,
            body.target_id,
            now_ms + body.left_ms,
        )
        for body in bodies
    )


def encode_refusal(reason: ChainRefusal) -> str:
    """Returns the reason of a denial as peers of earlier builds know it.

    Args:
        reason: Why a request is denied.
    """
    if reason is ChainRefusal.SHARE:
        return ChainRefusal.NO_TIME.value
    return str(reason.value)


def decode_refusal(reply: ChainReplyBody) -> ChainRefusal:
    """Returns why a peer denied a request.

    Args:
        reply: Message of the peer, with a refusal.
    """
    return (
        ChainRefusal.SHARE if reply.over_share else ChainRefusal(reply.refusal)
    )
