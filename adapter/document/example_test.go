package document_test

import (
	"fmt"
	"strings"
	"time"

	"hornbeamtray/adapter/document"
	"hornbeamtray/core/fleet"
)

// Operators build a configuration from immutable values and print it.
func Example() {
	east := fleet.NewDomain("east")
	quotes := fleet.NewService("quotes", fleet.Model).WithIdempotent("generate").WithDeadline(30 * time.Second)
	configuration := fleet.NewConfiguration().
		WithDomain(east).
		WithService(quotes).
		WithAccount(fleet.NewAccount("bench", strings.Repeat("ab", 32)).WithRate(20, 40)).
		WithTarget(fleet.NewTarget("m1", quotes.Name, east.Name, "10.0.0.1:7400").WithLimit(8).WithColdStart(2, time.Minute))
	text, err := document.PrintConfiguration(configuration)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Print(string(text))

	// An invalid configuration is rejected with a remedy.
	_, err = document.PrintConfiguration(configuration.WithTarget(fleet.NewTarget("m2", "notes", east.Name, "10.0.0.2:7400")))
	fmt.Println(err)
	// Output:
	// {
	//   "domains": [
	//     {
	//       "name": "east"
	//     }
	//   ],
	//   "services": [
	//     {
	//       "name": "quotes",
	//       "kind": "model",
	//       "deadline": "30s",
	//       "idempotent": [
	//         "generate"
	//       ]
	//     }
	//   ],
	//   "accounts": [
	//     {
	//       "name": "bench",
	//       "digest": "abababababababababababababababababababababababababababababababab",
	//       "rate": 20,
	//       "burst": 40,
	//       "concurrent": 50
	//     }
	//   ],
	//   "targets": [
	//     {
	//       "name": "m1",
	//       "service": "quotes",
	//       "domain": "east",
	//       "address": "10.0.0.1:7400",
	//       "limit": 8,
	//       "cold": 2,
	//       "warm": "1m0s"
	//     }
	//   ]
	// }
	// targets[m2].service: service "notes" does not exist; declare it under services or name another
}
