package operator_test

import (
	"log"
	"os"

	"hornbeamvale.example/hornbeamvale/operator"
)

// A program that prints a document for "hornbeamvalectl submit".
func Example() {
	doc := &operator.Document{
		Fleet: operator.Fleet{Seats: 10},
		Customers: []operator.Customer{{
			Name:      "fermentation",
			Keys:      []operator.Key{operator.NewKey("2026-a", "secret")},
			Rate:      50,
			Burst:     100,
			Weight:    1,
			Endpoints: []string{"cacao-agents"},
			Programs:  []string{"booking"},
		}},
		Programs: []operator.Program{{
			Name:   "booking",
			Budget: operator.Budget{Turns: 430},
		}},
		Endpoints: []operator.Endpoint{{Name: "cacao-agents", Kind: operator.KindModel}},
	}
	if err := doc.Print(os.Stdout); err != nil {
		log.Fatal(err)
	}
	// Output:
	// {
	//   "fleet": {
	//     "seats": 10
	//   },
	//   "customers": [
	//     {
	//       "name": "fermentation",
	//       "keys": [
	//         {
	//           "id": "2026-a",
	//           "sha256": "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
	//         }
	//       ],
	//       "rate": 50,
	//       "burst": 100,
	//       "weight": 1,
	//       "endpoints": [
	//         "cacao-agents"
	//       ],
	//       "programs": [
	//         "booking"
	//       ]
	//     }
	//   ],
	//   "programs": [
	//     {
	//       "name": "booking",
	//       "budget": {
	//         "turns": 430
	//       }
	//     }
	//   ],
	//   "endpoints": [
	//     {
	//       "name": "cacao-agents",
	//       "kind": "model",
	//       "price": {}
	//     }
	//   ]
	// }
}
