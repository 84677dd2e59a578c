package questionnaire_test

import (
	"fmt"

	"github.com/agateturn/agateturn/questionnaire"
)

func Example() {
	answers, err := questionnaire.Load("../examples/brenaz/answers.ini")
	if err != nil {
		fmt.Println(err)
		return
	}
	cfg, err := questionnaire.Generate(answers)
	if err != nil {
		fmt.Println(err)
		return
	}
	first := cfg.GetHosts()[0]
	fmt.Println(len(cfg.GetHosts()), "hosts")
	fmt.Println(first.GetName(), first.GetAddress(), first.GetRack(), first.GetPool())
	// Output:
	// 48 hosts
	// vevey-a-w01 127.0.3.1:9100 vevey-a-r1 kettle
}
