Feature: The measurement of uneven load is exact and repeatable

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/uneven_bench.py.
    When the case "<case>" of "uneven_bench" is played

    Examples: scripts/bench.sh uneven
      | case |
      | mix a prints the same twice |
      | mix b prints the same twice |
      | demand of mix a bursts by kind |
      | demand of mix b swings by domain |
      | a chunk lengthens the step of all running requests |
      | waiting requests are admitted by priority then by arrival |
      | a cancelled request frees its slot |
      | invalid settings get a clear error |
      | a plot without matplotlib ends with a clear error |
      | a plot shows each kind and is saved |
      | the value counts late and refused requests |
