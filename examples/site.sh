# What run.sh and rolling-restart.sh know of a site; read with the site's name as $1, from the root of the tree.

site=${1:-}
case $site in
  amman) model=narrate-compaction-ar call=ledger/notices ;;
  ulaanbaatar) model=holdover-type-i-snow-grains call=pads/slots ;;
  *)
    echo "usage: $0 amman|ulaanbaatar ..." >&2
    exit 2
    ;;
esac
settings=examples/$site

# hosts prints the site's host list, one host a line: id, role, failure domain, address, endpoint.
hosts() {
  awk -F' *= *' '
    function flush() { if (id != "") print id, role, domain, address, endpoint; id = "" }
    /^\[/ { flush(); role = domain = address = endpoint = "" }
    /^\[host / { id = $0; gsub(/^\[host "|"\]$/, "", id) }
    $1 == "role" { role = $2 }
    $1 == "failure_domain" { domain = $2 }
    $1 == "address" { address = $2 }
    $1 == "endpoint" { endpoint = $2 }
    END { flush() }
  ' "$settings/platform.ini"
}
