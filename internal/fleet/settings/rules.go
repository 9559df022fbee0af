package settings

import (
	"math"
	"net/netip"
	"strings"

	"github.com/go-faster/errors"
	validation "github.com/go-ozzo/ozzo-validation/v4"
)

// Rules of single values.
var (
	ruleRequired = validation.Required.Error("must be given and not be empty")
	ruleIP       = validation.NewStringRule(isIPv4, "must be an IPv4 address")
	ruleAddress  = validation.NewStringRule(isAddress, "must be IP:port with an IPv4 address and a port above 0")
	ruleListen   = validation.NewStringRule(isListen, "must be IP:port with an IPv4 address")
	rulePorts    = []validation.Rule{
		ruleRequired,
		validation.Length(2, 2).Error("must be two ports"),
		validation.Each(
			ruleRequired,
			validation.Min(1).Error("must be 1 to 65535"),
			validation.Max(math.MaxUint16).Error("must be 1 to 65535"),
		),
		validation.By(isOrdered),
	}
	ruleNotNegative = validation.Min(0.0).Error("must not be negative")
	rulePositive    = []validation.Rule{validation.Required.Error("must be above 0"), ruleNotNegative}
)

// isOrdered checks that the first of two ports isn't above the last. The rules before it check the type and the
// length.
func isOrdered(value any) error {
	if ports := value.([]int); ports[0] > ports[1] {
		return errors.New("the first port must not be above the last")
	}
	return nil
}

// isIPv4 reports whether s is an IPv4 address.
func isIPv4(s string) bool {
	a, err := netip.ParseAddr(s)
	return err == nil && a.Is4()
}

// isListen reports whether s is IP:port with an IPv4 address; port 0 leaves the choice to the kernel.
func isListen(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Addr().Is4()
}

// isAddress reports whether s is IP:port with an IPv4 address and a port that can be connected to.
func isAddress(s string) bool { return isListen(s) && !strings.HasSuffix(s, ":0") }
