package vmlist

// Decode decodes a list as a new Client does.
func Decode(data []byte) ([]VM, error) { return new(Client).decode(data) }
