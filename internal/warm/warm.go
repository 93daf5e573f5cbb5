// Package warm keeps the modules that later packages import in go.mod until those packages exist.
package warm

import (
	_ "github.com/BurntSushi/toml"
	_ "github.com/asynkron/protoactor-go/actor"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/go-hclog"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/quic-go/quic-go"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "go.uber.org/goleak"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "pgregory.net/rapid"
)
