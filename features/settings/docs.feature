Feature: The documentation covers the names and commands of the program

  Scenario Outline: Every name of a kind is on its documentation page
    Then docs/<page> names every <kind>

    Examples:
      | page                      | kind               |
      | API.md                    | error code         |
      | API.md                    | operators' route   |
      | operations/settings.md    | key of settings    |
      | operations/alarms.md      | metric             |
      | OPERATIONS.md             | metric of the gateway |
      | CLASSES.md                | class of the trial |

  Scenario: Every command shown in the documentation exists
    Then every "crocusvalve" line of the documentation is a command
