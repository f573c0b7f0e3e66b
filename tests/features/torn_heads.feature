Feature: Heads that are broken off or malformed

  Scenario Outline: <case>
    # Each case's docstring in tests/cases/torn_heads.py states the failure that
    # it guards against.
    When the case "<case>" of "torn_heads" is played

    Examples: real processes
      | case |
      | a head that breaks off is no answer |
      | a long head that breaks off is no answer |
      | a head in many pieces is read whole |
      | a relayed head that breaks off is no answer |
      | a torn answer beside a silent server ends nothing |
      | reports that break off in their heads change nothing |
      | an order whose answer breaks off is carried out once |
      | a store whose answers break off in their heads is read again |
      | a request that breaks off never runs |
      | a request in another coding is not run |
      | a caller that closes its half counts as gone |

    Examples: scripted servers
      | case |
      | a head that breaks off before another is no answer |
      | a head torn anywhere before another is no answer |
      | an answer without a body is whole or none |
      | an unreadable number in a head loses no answer |
      | a connection that its server closes is not used again |
      | an answer of the own interface makes no claim |
      | a head that frames no answer fails at once |
      | an answer of a store that breaks off is an error |
      | a malformed head is no answer |
      | a relay that breaks off brings no answer |
      | a relayed request that breaks off never runs |
