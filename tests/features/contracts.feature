Feature: Numbers of decisions apply where the platform names a contract

  Scenario Outline: <case>
    # Each case names the failure that it guards against; see
    # tests/cases/contracts.py.
    When the case "<case>" of "contracts" is played

    Examples: settings
      | case |
      | numbers apply only where their contract is named |
      | a template without contracts is read |
      | a wrong number is rejected whether its contract is named or not |
