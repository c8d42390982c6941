package warm

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/gin-gonic/gin"
	_ "github.com/go-kit/log/level"
	_ "github.com/google/uuid"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/onsi/gomega/gmeasure"
	_ "github.com/rcrowley/go-metrics"
	_ "go.uber.org/fx"
	_ "go.uber.org/fx/fxevent"
	_ "go.uber.org/fx/fxtest"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
)
