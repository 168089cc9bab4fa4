"""Home regions of routes and customers: decoding, and which servers get their requests."""

from __future__ import annotations

import json

import pytest

from sassafrastally.platform.adapter import PlatformDialect
from sassafrastally.platform.settings import decode_data_centres
from sassafrastally.proxy.cluster_state import ClusterState
from sassafrastally.proxy.dialect import DocumentInvalid
from sassafrastally.stand_ins.documents import CUSTOMER, key_of, make_configuration, make_route
from sassafrastally.stand_ins.platform_fleet import wait_until

REGIONS = {"north": "r1", "south": "r2"}


@pytest.fixture
async def regions(fleet):
    """One entry, with a plain server and an engine in each of two regions."""
    fleet.regions = REGIONS
    fleet.data_centres = ["north"]
    for data_centre in REGIONS:
        await fleet.add_replica(f"engine-{data_centre}", data_centre=data_centre)
        await fleet.add_replica(f"desk-{data_centre}", "desk", data_centre=data_centre)
    await fleet.add_entry()
    return fleet


async def configure(fleet, route_regions: object, customer_regions: object = None) -> None:
    """Publish routes and a customer with home regions and wait until they are in force."""
    routes = [
        make_route("note", "streaming", "engines", homeRegions=route_regions),
        make_route("look", "idempotent", "desk", homeRegions=route_regions),
    ]
    customer = {"name": CUSTOMER, "apiKeys": [key_of(CUSTOMER)], "homeRegions": customer_regions}
    fleet.configure(make_configuration(2, routes=routes, tenants=[customer]))
    state = fleet.kernels[0].get("beliefs", ClusterState)
    await wait_until(lambda: state.configuration_version == 2)


@pytest.mark.parametrize(("path", "prompt"), [("/note/x", "1000,340"), ("/look/x", None)])
class TestEnforcement:
    """Requests with home regions."""

    async def test_only_servers_at_home_get_requests(self, regions, path, prompt):
        """Guards against sending a request to a region that its customer excludes."""
        await configure(regions, ["r1", "r2"], ["r2"])
        for _ in range(6):
            assert (await regions.call(path, prompt=prompt)).status == 200
        assert not regions.replicas["engine-north"].seen + regions.replicas["desk-north"].seen

    async def test_none_at_home_is_refused(self, regions, path, prompt):
        """Guards against a reason that hides that no server may ever get the request."""
        await configure(regions, ["r1"], ["r2"])
        answer = await regions.call(path, prompt=prompt)
        assert answer.status == 503
        assert json.loads(answer.body)["type"].endswith(":no-home")
        assert not regions.received_requests()

    async def test_evacuated_home_is_refused(self, regions, path, prompt):
        """Guards against leaving the home region because its data centre is evacuated."""
        await configure(regions, ["r1"])
        regions.operator.evacuate("north")
        state = regions.kernels[0].get("beliefs", ClusterState)
        await wait_until(lambda: state.servers.evacuations.is_evacuated("north"))
        answer = await regions.call(path, prompt=prompt)
        assert json.loads(answer.body)["type"].endswith(":evacuated")
        assert not regions.received_requests()


class TestDecoding:
    """The field in configurations and the data centres in settings."""

    @pytest.mark.parametrize("value", ["r1", {"r1": 1}, [1], [""], 5, True, [["r1"]]])
    @pytest.mark.parametrize("part", ["routes", "tenants"])
    def test_other_types_make_the_configuration_invalid(self, part, value):
        document = make_configuration(1)
        document[part][0]["homeRegions"] = value
        with pytest.raises(DocumentInvalid, match="homeRegions"):
            PlatformDialect().decode_configuration(json.dumps(document).encode())

    @pytest.mark.parametrize("value", [None, []])
    def test_no_regions_are_no_restriction(self, value):
        document = make_configuration(1)
        document["routes"][0]["homeRegions"] = document["tenants"][0]["homeRegions"] = value
        configuration = PlatformDialect().decode_configuration(json.dumps(document).encode())
        assert not configuration.has_home_regions

    @pytest.mark.parametrize(
        "zones",
        [
            [{"name": "north", "region": "r1"}, {"name": "south", "region": "r2"}],
            {"north": "r1", "south": {"region": "r2"}},
        ],
    )
    def test_data_centres_with_regions(self, zones):
        assert decode_data_centres(zones) == (REGIONS, ())

    def test_data_centres_without_regions(self):
        assert decode_data_centres(["north"]).regions == {"north": None}
        assert decode_data_centres(None) == ({}, ())

    @pytest.mark.parametrize("zones", ["north", 5, [5], [{"region": "r1"}], {"north": 5}, [None]])
    def test_invalid_data_centres_are_reported_and_ignored(self, zones):
        """Guards against an entry that doesn't start because of a field that others don't need."""
        data_centres = decode_data_centres(zones)
        assert data_centres.problems
        assert not data_centres.has_regions
