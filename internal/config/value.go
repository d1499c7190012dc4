package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"time"
)

// assign parses the value and stores it in the settings.
func (sg setting) assign(se *Settings, val string) error {
	switch sg.kind {
	case text, file:
		*sg.field(se).(*string) = val
		return nil
	case listenAddress:
		return sg.assignAddress(se, val)
	case httpURL:
		return sg.assignURL(se, val)
	case addressList:
		return sg.assignList(se, val)
	case duration:
		return sg.assignDuration(se, val)
	case number:
		return sg.assignNumber(se, val)
	case decimal:
		return sg.assignDecimal(se, val)
	case flag:
		return sg.assignFlag(se, val)
	default:
		return fmt.Errorf("has no type")
	}
}

func (sg setting) assignAddress(se *Settings, val string) error {
	if err := checkAddress(val); err != nil {
		return err
	}
	*sg.field(se).(*string) = val
	return nil
}

func checkAddress(val string) error {
	ap, err := netip.ParseAddrPort(val)
	if err != nil {
		return fmt.Errorf("must be an IP number and a port such as 10.0.0.5:8080, not %q", val)
	}
	if ap.Port() == 0 {
		return fmt.Errorf("must name a port other than 0")
	}
	return nil
}

func (sg setting) assignURL(se *Settings, val string) error {
	if val != "" {
		ur, err := url.Parse(val)
		if err != nil || (ur.Scheme != "http" && ur.Scheme != "https") || ur.Host == "" {
			return fmt.Errorf("must be a URL such as http://10.0.0.9:7000, not %q", val)
		}
	}
	*sg.field(se).(*string) = val
	return nil
}

func (sg setting) assignList(se *Settings, val string) error {
	list := splitList(val)
	for _, addr := range list {
		if err := checkAddress(addr); err != nil {
			return err
		}
	}
	*sg.field(se).(*[]string) = list
	return nil
}

func (sg setting) assignDuration(se *Settings, val string) error {
	du, err := time.ParseDuration(val)
	if err != nil {
		return fmt.Errorf("must be a duration with its unit such as 200ms or 15m, not %q", val)
	}
	if int64(du) < sg.minimum || du < 0 {
		return fmt.Errorf("must be at least %s", time.Duration(sg.minimum))
	}
	*sg.field(se).(*time.Duration) = du
	return nil
}

func (sg setting) assignNumber(se *Settings, val string) error {
	num, err := strconv.ParseInt(val, 10, 64)
	if err != nil {
		return fmt.Errorf("must be a whole number, not %q", val)
	}
	if num < sg.minimum {
		return fmt.Errorf("must be at least %d", sg.minimum)
	}
	*sg.field(se).(*int64) = num
	return nil
}

func (sg setting) assignDecimal(se *Settings, val string) error {
	num, err := strconv.ParseFloat(val, 64)
	if err != nil || num < 0 {
		return fmt.Errorf("must be a number of at least 0 such as 0.2, not %q", val)
	}
	*sg.field(se).(*float64) = num
	return nil
}

func (sg setting) assignFlag(se *Settings, val string) error {
	on, err := strconv.ParseBool(val)
	if err != nil {
		return fmt.Errorf("must be true or false, not %q", val)
	}
	*sg.field(se).(*bool) = on
	return nil
}
