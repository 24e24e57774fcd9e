# Draws the slopes of bench/results/capacity into docs/images.
set terminal svg size 640,360 background rgb 'white'
set key left top
set grid
dir = 'bench/results/capacity/'

set output 'docs/images/capacity-members-traffic.svg'
set title 'Sent by one control process, full mesh'
set xlabel 'entry VMs'
set ylabel 'bytes a second'
plot dir.'members_control_sent.dat' with linespoints title 'measured', 26000 title 'limit 26 KB/s'

set output 'docs/images/capacity-members-processor.svg'
set title 'Processor time of one control process, full mesh'
set ylabel 'percent of a core'
plot dir.'members_control_processor.dat' with linespoints title 'measured', 4.6 title 'limit 4.6 %'

set output 'docs/images/capacity-changes-traffic.svg'
set title 'Sent by one control process, 16 entry VMs'
set xlabel 'preset switches a second'
set ylabel 'bytes a second'
plot dir.'changes_control_sent.dat' with linespoints title 'measured', 26000 title 'limit 26 KB/s'

set output 'docs/images/capacity-vm-list.svg'
set title 'Size of the VM list'
set xlabel 'targets'
set ylabel 'bytes'
plot dir.'vm_list_bytes.dat' with linespoints title 'measured', 1000000 title 'limit of a stored value'
