package ctl

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/samber/lo"

	"github.com/agateturn/agateturn/questionnaire"
	"github.com/agateturn/agateturn/settings"
)

// configFileMode applies to configurations and queue tables, which contain no secrets.
const configFileMode = 0o644

type initCmd struct {
	Answers string `help:"File with the answers; without it the questions are asked on the terminal." type:"existingfile"`
	Out     string `help:"File to write; - is standard output. With --jobs, the directory to write to." default:"-" short:"f"`
	Jobs    bool   `help:"Write a deployment that serves jobs: the settings of each entry host and the queue table."`
}

// Run reads the answers from the file or the terminal, and writes the configuration.
func (c *initCmd) Run(e *env) error {
	if c.Jobs {
		return c.runJobs(e)
	}
	answers, err := c.answers(e)
	if err != nil {
		return err
	}
	cfg, err := questionnaire.Generate(answers)
	if err != nil {
		return refusedSettings(err)
	}
	data, err := settings.Marshal(cfg)
	if err != nil {
		return err
	}
	if c.Out == "-" {
		_, err = e.out.Write(data)
		return err
	}
	if err := os.WriteFile(c.Out, data, configFileMode); err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.out, "wrote %s; apply it with: agateturnctl config apply %s\n", c.Out, c.Out)
	return err
}

func (c *initCmd) answers(e *env) (*questionnaire.Answers, error) {
	if c.Answers != "" {
		a, err := questionnaire.Load(c.Answers)
		if err != nil {
			return nil, refusedSettings(err)
		}
		return a, nil
	}
	return questionnaire.Ask(e.in, e.out)
}

type completionCmd struct{}

// Run prints a bash completion script generated from the declared commands and flags.
func (completionCmd) Run(e *env) error {
	var b strings.Builder
	b.WriteString("_agateturnctl() {\n  local words=\"${COMP_WORDS[*]:1:COMP_CWORD-1}\"\n  case \"$words\" in\n")
	writeCompletion(&b, e.model.Node, "", nil)
	b.WriteString("  esac\n  COMPREPLY=($(compgen -W \"$choices\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n")
	b.WriteString("complete -o default -F _agateturnctl agateturnctl\n")
	_, err := e.out.Write([]byte(b.String()))
	return err
}

// writeCompletion writes a case for the node and for each command below it. Commands inherit the flags of their parents.
func writeCompletion(b *strings.Builder, node *kong.Node, path string, inherited []string) {
	var choices []string
	for _, child := range node.Children {
		choices = append(choices, child.Name)
	}
	flags := lo.Map(node.Flags, func(f *kong.Flag, _ int) string { return "--" + f.Name })
	flags = append(flags, inherited...)
	choices = append(choices, flags...)
	for _, child := range node.Children {
		writeCompletion(b, child, strings.TrimSpace(path+" "+child.Name), flags)
	}
	pattern := "*"
	if path != "" {
		pattern = "\"" + path + "\"*"
	}
	fmt.Fprintf(b, "    %s) choices=\"%s\" ;;\n", pattern, strings.Join(choices, " "))
}
