# Procedures on the Kandy deployment; sourced by operators-lab.sh.
section "first start"
for name in "${names[@]}"; do
  "$bin/dandelionhoistd" check-settings "$lab/$name.json" && vm "$name"
done
for i in 1 2 3; do
  zone=$(sed -n "${i}p" <<<$'kandy-a\nperadeniya-b\nmatale-c')
  backend "loaf-llm-$i" "$zone" loaf-llm --version millet/v2 --version wheat/v2 --version wheat/v3
  backend "order-desk-$i" "$zone" order-desk --kind service --version desk/v1
done
sleep 2
show dandelionhoist check deploy/kandy/tables.json
show dandelionhoist apply --wait deploy/kandy/tables.json
sleep 1
show vms
show pools
section "load"
load 20 8s
section "stop"
for name in "${names[@]}"; do signal TERM "$name"; done
for name in "${names[@]}"; do ended "$name"; done
