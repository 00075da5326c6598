package dhwatch

import (
	"google.golang.org/protobuf/proto"

	"dandelionhoist.example/dh/dhcode"
	"dandelionhoist.example/dh/dhpb"
)

// Loads decodes the loads in a response. Code: request-malformed.
func Loads(r *dhpb.ControlWatchResponse) ([]*dhpb.BackendLoad, error) {
	list := new(dhpb.LoadList)
	if err := proto.Unmarshal(r.GetLoadList(), list); err != nil {
		return nil, dhcode.Wrap(dhcode.RequestMalformed, err)
	}
	return list.GetLoads(), nil
}

// Records decodes the backend server records in a response. Code:
// request-malformed.
func Records(r *dhpb.ControlWatchResponse) ([]*dhpb.BackendRecord, error) {
	if len(r.GetView()) == 0 {
		return r.GetBackends(), nil
	}
	list := new(dhpb.BackendList)
	if err := proto.Unmarshal(r.GetView(), list); err != nil {
		return nil, dhcode.Wrap(dhcode.RequestMalformed, err)
	}
	return list.GetBackends(), nil
}
