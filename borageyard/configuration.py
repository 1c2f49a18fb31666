"""Validates deployment configurations and builds their immutable form."""

import dataclasses
import hashlib
import json
import types
from collections.abc import Callable, Iterator, Mapping
from typing import TypeVar

import pydantic

from .document_validation import (
    DocumentError,
    Problem,
    abbreviate_json,
    check_document,
)
from .generated.configuration import ConfigurationDocument

BuiltT = TypeVar('BuiltT')

REQUEST_INPUT = 'request'


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer; all its callers share one weight and one rate limit."""

    name: str
    weight: float
    limit_requests_per_s: float
    burst_requests: int
    token_sha256: str


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model with its declared version and its adapters.

    ``also_load`` are versions that targets load beside the declared one, ahead
    of a change of version.
    """

    name: str
    version: str
    size_bytes: int
    adapters: tuple[str, ...]
    also_load: tuple[str, ...]

    @property
    def versions(self) -> tuple[str, ...]:
        """Returns the versions that targets must have loaded."""
        return (self.version, *self.also_load)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable targets.

    ``fencing`` is whether they refuse orders with an old fencing number.
    ``max_in_flight`` is the number of concurrent calls to one target,
    ``typical_ms`` the expected duration of a call before any was measured.
    """

    name: str
    kind: str
    idempotent: bool
    fencing: bool
    model: str
    max_in_flight: int
    typical_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """One step of a pipeline.

    ``inputs`` are names of earlier stages, or ``request`` for the body of the
    caller's request.
    """

    name: str
    service: str
    inputs: tuple[str, ...]
    timeout_ms: int
    operation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Pipeline:
    """A sequence of stages that share one deadline.

    ``output`` is the stage whose result is returned to the caller. Callers may
    request a shorter deadline.
    """

    name: str
    deadline_ms: int
    stages: tuple[Stage, ...]
    output: str


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A complete configuration with its version and digest."""

    version: int
    digest: str
    claim_window_ms: int
    clock_skew_ms: int
    permission_ms: int
    organisations: Mapping[str, Organisation]
    models: Mapping[str, Model]
    services: Mapping[str, Service]
    pipelines: Mapping[str, Pipeline]

    def model_version(self, service: Service) -> str:
        """Returns the declared version of a service's model, '' if none."""
        model = self.models.get(service.model)
        return model.version if model else ''

    @property
    def longest_deadline_ms(self) -> int:
        """Returns the longest deadline of all pipelines."""
        return max(pipeline.deadline_ms for pipeline in self.pipelines.values())

    def needs_claim(self, pipeline: Pipeline) -> bool:
        """Returns whether a pipeline has a stage that is not idempotent.

        Such a stage must not be repeated, so a request claims its idempotency
        key first.
        """
        return any(
            not self.services[stage.service].idempotent
            for stage in pipeline.stages
        )


def parse_configuration(
    document: object,
    version: int,
    source: str = 'configuration',
) -> Configuration:
    """Validates a configuration document and builds the configuration.

    Args:
        document: Decoded JSON.
        version: Version number that the configuration gets.
        source: Name of the document in error messages.

    Returns:
        The immutable configuration.

    Raises:
        DocumentError: If a field or a reference between sections is invalid;
            it lists all problems of the first of these checks that fails.
    """
    checked = check_document(ConfigurationDocument, document, source)
    problems = tuple(_find_problems(checked))
    if problems:
        raise DocumentError(source, problems)
    return _build(checked, version)


def digest_of(document: ConfigurationDocument) -> str:
    """Returns the hexadecimal SHA-256 of a document as canonical JSON."""
    canonical = json.dumps(
        document.model_dump(mode='json'),
        sort_keys=True,
        separators=(',', ':'),
    )
    return hashlib.sha256(canonical.encode()).hexdigest()


def _find_problems(checked: ConfigurationDocument) -> Iterator[Problem]:
    for name, service in checked.services.items():
        if service.model and service.model not in checked.models:
            yield Problem(
                f'$.services.{name}.model',
                abbreviate_json(service.model),
                'the name of one of $.models',
            )
    for name in checked.pipelines:
        yield from _find_stage_problems(checked, name)


def _find_stage_problems(
    checked: ConfigurationDocument,
    name: str,
) -> Iterator[Problem]:
    pipeline = checked.pipelines[name]
    path = f'$.pipelines.{name}'
    input_names = {REQUEST_INPUT}
    for index, stage in enumerate(pipeline.stages):
        stage_path = f'{path}.stages[{index}]'
        if stage.service not in checked.services:
            yield Problem(
                f'{stage_path}.service',
                abbreviate_json(stage.service),
                'the name of one of $.services',
            )
        if stage.name in input_names:
            yield Problem(
                f'{stage_path}.name',
                abbreviate_json(stage.name),
                'a name that no earlier stage has',
            )
        for source in stage.inputs:
            if source not in input_names:
                yield Problem(
                    f'{stage_path}.inputs',
                    abbreviate_json(source),
                    'request or the name of an earlier stage',
                )
        input_names.add(stage.name)
    if pipeline.output and pipeline.output not in input_names:
        yield Problem(
            f'{path}.output',
            abbreviate_json(pipeline.output),
            'the name of one of its stages',
        )
    yield from _find_deadline_problems(checked, name)


def _find_deadline_problems(
    checked: ConfigurationDocument,
    name: str,
) -> Iterator[Problem]:
    pipeline = checked.pipelines[name]
    typical_ms = sum(
        checked.services[stage.service].typical_ms
        for stage in pipeline.stages
        if stage.service in checked.services
    )
    if typical_ms > pipeline.deadline_ms:
        yield Problem(
            f'$.pipelines.{name}.deadline_ms',
            abbreviate_json(pipeline.deadline_ms),
            f'at least the typical time of its stages, {typical_ms} ms',
        )


def _build(checked: ConfigurationDocument, version: int) -> Configuration:
    pipelines = {
        name: Pipeline(
            name=name,
            deadline_ms=pipeline.deadline_ms,
            stages=tuple(
                Stage(
                    name=stage.name,
                    service=stage.service,
                    inputs=tuple(stage.inputs),
                    timeout_ms=stage.timeout_ms,
                    operation=stage.operation,
                )
                for stage in pipeline.stages
            ),
            output=pipeline.output or pipeline.stages[-1].name,
        )
        for name, pipeline in checked.pipelines.items()
    }
    return Configuration(
        version=version,
        digest=digest_of(checked),
        claim_window_ms=checked.claim_window_ms,
        clock_skew_ms=checked.clock_skew_ms,
        permission_ms=checked.permission_ms,
        organisations=_build_named(Organisation, checked.organisations),
        models=_build_named(Model, checked.models),
        services=_build_named(Service, checked.services),
        pipelines=types.MappingProxyType(pipelines),
    )


def _build_named(
    item_type: Callable[..., BuiltT],
    documents: Mapping[str, pydantic.BaseModel],
) -> Mapping[str, BuiltT]:
    named = {}
    for name, document in documents.items():
        fields = {
            field: tuple(setting) if isinstance(setting, list) else setting
            for field, setting in document.model_dump().items()
        }
        named[name] = item_type(name=name, **fields)
    return types.MappingProxyType(named)
