Feature: The quickstart
  One command shows a request, a submission, a table change, a report and a
  stop with real processes.

  Scenario: The quickstart shows every step
    When the quickstart runs
    Then it reports that every step succeeded
