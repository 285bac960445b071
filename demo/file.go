package demo

// ConfigFile is the text of the configuration that the demonstration applies.
const ConfigFile = `{
  // Failure domains that are taken out.
  "out": [],
  "services": [
    {
      "name": "agenda",
      "slots": 64,
      "kinds": [
        // Looking at the free times of a visit is idempotent.
        {"name": "look", "method": "GET", "path": "/visits/{visit}", "key": {"path": "visit"},
         "wait": "2s", "repeat": 0, "class": "urgent"},
        // Booking a visit twice would send two crews to one house.
        {"name": "book", "method": "POST", "path": "/visits/{visit}", "key": {"path": "visit"},
         "wait": "3s", "repeat": "never", "class": "urgent"},
      ],
    },
  ],
}
`
