#!/bin/sh
# Draws the data files that the measurements wrote under build/report.
# usage: plot.sh [REPORT_DIR]
set -eu
cd "$(dirname "$0")/.."
dir=${1:-build/report}
if ! ls "$dir"/*.dat >/dev/null 2>&1; then
    echo "plot: no data in $dir; run 'make bench' first" >&2
    exit 2
fi

# plot OUT TITLE YLABEL EXTRA: reads the plot command from standard input.
plot() {
    {
        echo "set terminal pngcairo size 900,480"
        echo "set output '$dir/$1.png'"
        echo "set title '$2' noenhanced"
        echo "set ylabel '$3'"
        echo "set grid; set key above"
        echo "$4"
        cat
    } | gnuplot
    echo "plot: $dir/$1.png"
}

for f in "$dir"/flood_*.dat; do
    [ -e "$f" ] || continue
    n=$(basename "$f" .dat)
    plot "$n" "Slot-time by rank, ${n#flood_}" "part of the slots" \
        "set xlabel 'time, s'; set yrange [0:1.1]" <<END
plot '$f' using 1:2 with lines lw 2 title 'urgent', \
     '' using 1:3 with lines lw 2 title 'normal', \
     '' using 1:4 with lines lw 2 title 'bulk', \
     0.3 with lines dt 2 title 'floor of urgent', \
     0.2 with lines dt 2 title 'floor of normal', \
     0.1 with lines dt 2 title 'floor of bulk'
END
done

# The cap is 0.1 of the traffic in 10 s; events are at 10 s and 200 s.
for f in "$dir"/shift_*.dat; do
    [ -e "$f" ] || continue
    n=$(basename "$f" .dat)
    plot "$n" "Shares of the first zone, ${n#shift_}" "share" \
        "set xlabel 'time, s'; set yrange [0:1.1]" <<END
plot '$f' using 1:2 with lines lw 2 title 'served at home', \
     '' using 1:(1-\$2) with lines lw 2 title 'moved', \
     (x < 10 || x > 110) ? NaN : (x-10)/100 with lines dt 2 title 'cap'
END
done

if [ -e "$dir/latency.dat" ]; then
    plot latency "p99 beside the oracles" "ms" \
        "set style data histograms; set style fill solid 0.5
set logscale y; set xtics rotate by -60 noenhanced; set bmargin 12" <<END
plot '$dir/latency.dat' using 5:xtic(9) title 'mimosascale', \
     '' using 6 title 'oracle', '' using 7 title 'oracle with warm-up', \
     '' using 8 title 'round robin'
END
fi
