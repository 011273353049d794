import pytest

from magnoliawood.programs import identity
from magnoliawood.scheduling import routing

PROGRAM = identity.ProgramKey('red-clay', 'pour-7')


def view(name: str, waiting: int, resident: int = 1_000):
    return routing.UpstreamView(name, 'dc-1', waiting, 0.05, resident, 0.001)


def choose(router, candidates, last_upstream='', tokens=100, growth=0):
    demand = routing.Demand(PROGRAM, last_upstream, tokens, growth)
    return router.choose(demand, candidates).name


def test_least_loaded_chooses_the_fewest_calls():
    candidates = [view('a', 3), view('b', 1), view('c', 2)]
    assert choose(routing.LeastLoaded(), candidates, last_upstream='a') == 'b'


def test_hash_ignores_load_and_order():
    candidates = [view('a', 3), view('b', 1), view('c', 2)]
    busy = [view('c', 0), view('b', 90), view('a', 0)]
    router = routing.HashAffinity()
    assert choose(router, candidates) == choose(router, busy)


@pytest.mark.parametrize(('waiting', 'chosen'), [(4, 'a'), (5, 'b')])
def test_program_leaves_a_clearly_busier_upstream(waiting, chosen):
    candidates = [view('a', waiting), view('b', 0)]
    router = routing.StayOrLeastLoaded()
    assert choose(router, candidates, last_upstream='a') == chosen


def test_least_cost_moves_only_programs_with_short_prompts():
    candidates = [view('a', 6), view('b', 0)]
    router = routing.LeastCost()
    assert choose(router, candidates, last_upstream='a', tokens=1_000) == 'a'
    assert choose(router, candidates, last_upstream='a', tokens=50) == 'b'


def test_least_cost_starts_growing_programs_at_the_emptiest_cache():
    candidates = [view('a', 0, 3_000), view('b', 1, 200)]
    assert choose(routing.LeastCost(), candidates, growth=900) == 'b'


def test_least_cost_starts_short_programs_at_the_shortest_queue():
    candidates = [view('a', 0, 3_000), view('b', 1, 200)]
    assert choose(routing.LeastCost(), candidates) == 'a'


def test_least_cost_chooses_without_measurements():
    candidates = [routing.UpstreamView(name, 'dc-1', 0) for name in 'ab']
    assert choose(routing.LeastCost(), candidates, last_upstream='gone') == 'a'
