# Guards against commands without help and options without documentation.
run --help
for command in check diff apply get status jobs job explain cancel submit \
  drain undrain histograms; do
  run $command --help
done
