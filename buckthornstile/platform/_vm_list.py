"""The adapter of the platform's VM list."""

import json

from pydantic import BaseModel, TypeAdapter, ValidationError

from buckthornstile.platform._client import (
    PlatformClient,
    check_accepted,
    make_malformed_error,
)
from buckthornstile.ports import Vm

NOT_MODIFIED_STATUS = 304
_VM = TypeAdapter(Vm)


class _VmList(BaseModel):
    vms: list[object]


class HttpVmList:
    """The platform's VM list over HTTP.

    Every daemon reads the list again and again, and it seldom changes, so a list
    that is still the same is neither sent nor parsed again if the platform tags it.

    Args:
        client: The client to call the platform with.

    Attributes:
        malformed: How many entries were left out because they were malformed.
        unchanged: How many reads found the list unchanged.

    Example:
        >>> HttpVmList(PlatformClient("http://127.0.0.1:1")).malformed
        0
    """

    def __init__(self, client: PlatformClient) -> None:
        self.client = client
        self.malformed = 0
        self.unchanged = 0
        self._entity_tag = ""
        self._vms: tuple[Vm, ...] = ()

    async def list_vms(self) -> tuple[Vm, ...]:
        """Lists VMs; may be seconds old.

        Returns:
            The well-formed entries, so that one bad entry costs no other; the
            same tuple while the list is unchanged.

        Raises:
            PlatformUnavailableError: The list did not answer.
        """
        response = await self.client.call("GET", "/vms", entity_tag=self._entity_tag)
        if response.code == NOT_MODIFIED_STATUS and self._entity_tag:
            self.unchanged += 1
            return self._vms
        check_accepted(response)
        self._vms = self._parse(response.body)
        self._entity_tag = response.headers.get("Etag", "")
        return self._vms

    def _parse(self, answer: bytes) -> tuple[Vm, ...]:
        try:
            listed = _VmList.model_validate_json(answer)
        except ValidationError as error:
            raise make_malformed_error(error) from error
        vms = (self._read_vm(entry) for entry in listed.vms)
        return tuple(vm for vm in vms if vm is not None)

    def _read_vm(self, entry: object) -> Vm | None:
        try:
            return _VM.validate_json(json.dumps(entry))
        except ValidationError:
            self.malformed += 1
            return None
