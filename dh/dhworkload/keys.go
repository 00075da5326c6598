package dhworkload

import "dandelionhoist.example/dh/dhjson"

type keysDocument struct {
	Accounts map[string]string `json:"accounts"`
}

// ParseKeys reads API keys by client account from JSON with comments, such as
// deploy/tringles/keys.json. The name is used in error messages.
func ParseKeys(name string, data []byte) (map[string]string, error) {
	doc, err := dhjson.Parse(name, data)
	if err != nil {
		return nil, err
	}
	var keys keysDocument
	if err := doc.Decode(&keys); err != nil {
		return nil, err
	}
	return keys.Accounts, nil
}
